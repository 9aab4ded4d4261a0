//! Serves the record of what endpoints ran, for verification by a load tool.

use std::future::Future;
use std::pin::Pin;

use pond_http::{Call, Handler, Method, Reply, StatusCode};
use pond_standin::Record;

/// Answers `GET /v1/record` with the run counts by first line of the request body, and `DELETE`
/// by clearing them.
#[derive(Debug)]
pub struct RecordServer {
    record: Record,
}

impl RecordServer {
    /// Creates a server of a record.
    pub fn new(record: Record) -> RecordServer {
        RecordServer { record }
    }

    fn answer(&self, call: &Call) -> Reply {
        if call.path != "/v1/record" {
            return Reply::new(StatusCode::NOT_FOUND, "only /v1/record is here\n");
        }
        if call.method == Method::DELETE {
            self.record.clear();
        }
        Reply::json(StatusCode::OK, &self.record.all())
    }
}

impl Handler for RecordServer {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move { self.answer(&call) })
    }
}
