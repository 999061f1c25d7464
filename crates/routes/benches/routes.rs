//! Measures the lookup of one route among 10, 1,000 and 10,000: `cargo bench -p doorproxy-routes`.

use criterion::{Criterion, criterion_group, criterion_main};
use doorproxy_routes::pattern::{HostPattern, PathPattern, RoutePattern};
use doorproxy_routes::request::RequestView;
use doorproxy_routes::router::Router;

fn bench_find(criterion: &mut Criterion) {
    for count in [10, 1_000, 10_000] {
        let patterns = (0..count).map(|number| {
            let path = format!("/service{}/v{}/{{id}}/part{number}", number % 100, number % 10);
            RoutePattern {
                host: HostPattern::Any,
                path: PathPattern::parse(&path).unwrap(),
                methods: vec!["GET".to_string()],
                headers: Vec::new(),
            }
        });
        let router = Router::new(patterns.collect());
        let target = format!("/service{}/v{}/4711/part{}", (count - 1) % 100, (count - 1) % 10, count - 1);
        criterion.bench_function(&format!("{count} routes"), |bencher| {
            bencher.iter(|| {
                let request =
                    RequestView::new("GET", std::hint::black_box(&target), Some("quotes.example")).unwrap();
                router.find_unambiguous(&request, |_| None, |_| 0).unwrap().unwrap()
            });
        });
    }
}

criterion_group!(benches, bench_find);
criterion_main!(benches);
