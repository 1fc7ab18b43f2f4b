//! Answers that are cut before they are complete.

use futures_util::{StreamExt, stream};
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use strum::{Display, EnumString, IntoStaticStr};
use tokio::time::sleep;

use crate::http_server::{Answer, BodyCut, Connection, DropConnection};
use crate::prelude::*;

const EXCESS_BYTES: usize = 16;
const HANG_TIME: Duration = Duration::from_secs(600);
/// Delay before the connection ends, so that the first half is sent.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Ways to cut an answer, named as in the header `standin-cut`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Cut {
    /// Announces the true length, sends half and closes the connection.
    Half,
    /// Like `half`, but resets the connection.
    HalfReset,
    /// Sends half in chunked encoding without the last chunk.
    Chunked,
    /// Announces a longer body than is sent.
    WrongLength,
    /// Resets the connection before the head.
    Reset,
    /// Sends half and keeps the connection open without sending the rest.
    Hang,
}

impl Cut {
    /// Cuts an answer that has this body.
    pub(super) fn apply(
        self,
        mut answer: Answer,
        body: &Bytes,
        connection: &Connection,
    ) -> Result<Answer, DropConnection> {
        if self == Self::Reset {
            connection.reset_when_dropped();
            return Err(DropConnection);
        }
        let announced = match self {
            Self::Chunked => None,
            Self::WrongLength => Some(body.len() + EXCESS_BYTES),
            _ => Some(body.len()),
        };
        if let Some(length) = announced {
            let headers = answer.headers_mut();
            headers.insert(http::header::CONTENT_LENGTH, length.into());
        }
        let sent = match self {
            Self::WrongLength => body.clone(),
            _ => body.slice(..body.len() / 2),
        };
        *answer.body_mut() = self.cut_body(sent, connection.clone());
        Ok(answer)
    }

    fn cut_body(self, sent: Bytes, connection: Connection) -> UnsyncBoxBody<Bytes, BodyCut> {
        let first = stream::iter([Ok(Frame::data(sent))]);
        let end = stream::once(async move {
            sleep(if self == Self::Hang {
                HANG_TIME
            } else {
                FLUSH_DELAY
            })
            .await;
            if self == Self::HalfReset {
                connection.reset_when_dropped();
            }
            Err(BodyCut)
        });
        UnsyncBoxBody::new(StreamBody::new(first.chain(end)))
    }
}
