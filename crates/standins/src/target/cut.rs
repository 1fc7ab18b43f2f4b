//! Answers that end before their end.

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
/// Time for the first half to leave before the connection ends.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Ways to cut an answer, by their name in `standin-cut`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Cut {
    /// The true length is announced, half is sent, the connection is closed.
    Half,
    /// As `half`, but the connection is reset.
    HalfReset,
    /// Half is sent in chunks and the last chunk never comes.
    Chunked,
    /// A longer length is announced than is sent.
    WrongLength,
    /// The connection is reset before the head.
    Reset,
    /// Half is sent, then nothing more, on an open connection.
    Hang,
}

impl Cut {
    /// Spoils an answer with this body.
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
