//! `deploy/regression`, run with scripts that print fixed scores instead of the operators' kit.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use expect_test::expect;

fn write_script(path: PathBuf, text: &str) {
    fs::create_dir_all(path.parent().unwrap()).unwrap();
    fs::write(&path, format!("#!/bin/sh\n{text}\n")).unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(0o755)).unwrap();
}

fn run_regression(kit: &Path, figures: &Path, arguments: &[&str]) -> String {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/regression");
    let mut command = Command::new(script);
    command.env("DOORPROXY_KIT", kit).env("DOORPROXY_FIGURES", figures).args(arguments);
    let output = command.output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    format!("{}ends with {:?}\n", String::from_utf8(text).unwrap(), output.status.code())
}

#[test]
fn regression_reports_drops_failures_and_missing_runs() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("regression-{}", std::process::id()));
    let (kit, figures) = (folder.join("kit"), folder.join("figures"));
    let score =
        |figure: &str| format!("echo 'score of the real nodes {figure} (the weighted mean of the days)'");
    write_script(
        kit.join("more/ops/bin/lbreal"),
        &format!("case \"$*\" in *--panel*) {};; *) {};; esac", score("0.851"), score("0.870")),
    );
    let days = "echo 'soak      G 0.873  served 0.935 (gate 0.447)  score 0.93'
        echo 'zone+mass      G 0.735  served 0.795 (gate 0.442)  score 0.71'";
    let quick_fails =
        "case \"$*\" in *--quick*) echo 'GATE failed: zone+mass, a cold upstream pushed over'; exit 1;; esac";
    let full_passes = "case \"$*\" in *--quick*) ;; *) echo 'GATE passed'; echo 'snapshot 0a1b2c3d';; esac";
    write_script(
        kit.join("more/mass/bin/lbreal"),
        &[days, &score("0.990"), quick_fails, full_passes].join("\n"),
    );
    write_script(
        kit.join("real/bin/lbreal"),
        &format!("echo 'x  score 0.00  BROKEN: drain'; {}", score("0.900")),
    );
    let standing_line =
        "standing on the standard days of a (set 0a1b): 0.716, -0.000 against snapshot 0b; then 0.51";
    let site_script = format!(
        "case \"$2\" in */seoul-quotes.toml) echo '{standing_line}';; *) echo 'no such site'; exit 2;; esac"
    );
    write_script(kit.join("more/move/bin/lbsim"), &site_script);
    write_script(kit.join("bin/lbsim"), &site_script);
    fs::write(&figures, "operating 0.860\nlater 0.902\nreal 0.898\nseoul-quotes 0.714\n").unwrap();
    let mut report = run_regression(&kit, &figures, &[]);
    report += &run_regression(&kit, &figures, &["--keep", "operating", "later", "fleet-full"]);
    report += &fs::read_to_string(&figures).unwrap();
    let quick_passes = "echo 'GATE passed (three of the six days)'";
    write_script(kit.join("more/mass/bin/lbreal"), &[days, &score("0.990"), quick_passes].join("\n"));
    report += &run_regression(&kit, &figures, &["fleet"]);
    write_script(kit.join("more/mass/bin/lbreal"), &[days, &score("0.990")].join("\n"));
    report += &run_regression(&kit, &figures, &["fleet-full"]);
    report += &run_regression(&kit, &figures, &["tomorrow"]);
    report += &run_regression(Path::new("no-kit"), &figures, &[]);
    expect![[r#"
        days                     now    last   change
        fleet                  0.990       -        -  failed the standing test: GATE failed: zone+mass, a cold upstream pushed over
          soak                  0.93       -
          zone+mass             0.71       -
        fleet-full             0.990       -        -  holds
          soak                  0.93       -
          zone+mass             0.71       -
        operating              0.870   0.860   +0.010  holds
        later                  0.851   0.902   -0.051  fell
        real                   0.900   0.898   +0.002  broke a rule: x  score 0.00  BROKEN: drain
        seoul-quotes           0.716   0.714   +0.002  holds
        seoul-quotes-later         -       -        -  could not be run: no such site
        engravers-issue            -       -        -  could not be run: no such site
        gdtla-booking              -       -        -  could not be run: no such site
        kodsok-north               -       -        -  could not be run: no such site
        bajio-suscripciones        -       -        -  could not be run: no such site
        ends with Some(1)
        days                     now    last   change
        operating              0.870   0.860   +0.010  holds
        later                  0.851   0.902   -0.051  fell
        fleet-full             0.990       -        -  holds
          soak                  0.93       -
          zone+mass             0.71       -
        ends with Some(1)
        later 0.902
        real 0.898
        seoul-quotes 0.714
        operating 0.870
        fleet-full 0.990
        fleet-full/soak 0.93
        fleet-full/zone+mass 0.71
        days                     now    last   change
        fleet                  0.990       -        -  holds
          soak                  0.93       -
          zone+mass             0.71       -
        ends with Some(0)
        days                     now    last   change
        fleet-full             0.990   0.990   +0.000  failed the standing test: no gate was told
          soak                  0.93    0.93
          zone+mass             0.71    0.71
        ends with Some(1)
        regression: no days are called tomorrow; there are: fleet fleet-full operating later real seoul-quotes seoul-quotes-later engravers-issue gdtla-booking kodsok-north bajio-suscripciones
        ends with Some(2)
        regression: the operators' kit is not at no-kit; nothing was run
        ends with Some(1)
    "#]].assert_eq(&report);
}
