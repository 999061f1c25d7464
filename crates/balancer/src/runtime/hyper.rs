//! Adapts a [`Runtime`] to hyper's executor and timer traits.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Executor, Sleep, Timer};

use crate::runtime::Runtime;

/// Implements hyper's executor and timer on a [`Runtime`].
#[derive(Clone)]
pub struct HyperRuntime<R>(pub R);

impl<R: Runtime, F> Executor<F> for HyperRuntime<R>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, task: F) {
        self.0.spawn(async move {
            task.await;
        });
    }
}

struct BoxedSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for BoxedSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl Sleep for BoxedSleep {}

impl<R: Runtime> Timer for HyperRuntime<R> {
    fn sleep(&self, time: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(BoxedSleep(Box::pin(self.0.sleep(time))))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Timer::sleep(self, deadline.saturating_duration_since(self.0.instant()))
    }

    fn now(&self) -> Instant {
        self.0.instant()
    }
}
