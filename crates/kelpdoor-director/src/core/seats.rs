//! Sessions that need a token and a seat: the way of a request from its token to the decisions, and what becomes of
//! a session whose seat ends. The seats themselves are the [`Holder`](kelpdoor_seats::Holder)'s.
//!
//! A request with a good token waits for its seat, half of its time at most, and is answered `busy` without one.
//! A seat goes with the latest request that shows its token: the one before it is ended.

use kelpdoor::ids::SessId;
use kelpdoor::round::SetupOutcome;
use kelpdoor_api::{EndReason, ErrorCode, FailureReason, FromPlayer, RequestKey, ToPlayer};
use kelpdoor_seats::{self as seats, Holder, Output, RefusalReason, School, TokenId};
use kelpdoor_tokens::Entitlement;

use super::Hands;
use crate::effect::{Effect, TokenCheck};
use crate::session::{Seat, Stage};
use crate::timers::Timer;

const EXPIRED: &str = "the token has expired: ask for a new one";

/// One seat of a school.
pub(super) type SeatName = (School, TokenId);

impl Hands {
    /// A message that came with a token.
    pub(super) fn player_with_token(
        &mut self, sock: u64, message: FromPlayer, waited: f64, shown: TokenCheck,
    ) {
        match message {
            FromPlayer::Renew { key, .. } => self.renew(sock, &key, shown),
            message => self.player(sock, message, waited, shown),
        }
    }

    /// What of the token allows a session of the group, or the error that its player gets.
    pub(super) fn entitled(
        &self, group: usize, shown: TokenCheck,
    ) -> Result<Option<Entitlement>, (ErrorCode, String)> {
        let group = &self.book.groups[group];
        if !group.token || self.holder.is_none() {
            return Ok(None);
        }
        match shown {
            TokenCheck::Missing => {
                Err((ErrorCode::TokenMissing, format!("group {:?} needs a token", group.name)))
            }
            TokenCheck::Refused(why) => Err((ErrorCode::TokenRefused, why)),
            TokenCheck::TooFast => Err((ErrorCode::TooFast, "too many tokens a second".to_owned())),
            // It lay in line for that long.
            TokenCheck::Valid(e) if e.expires <= self.now => {
                Err((ErrorCode::TokenRefused, EXPIRED.to_owned()))
            }
            TokenCheck::Valid(e) if e.group.as_ref().is_some_and(|g| *g != group.name) => {
                let of = e.group.unwrap_or_default();
                Err((ErrorCode::TokenRefused, format!("the token is for group {of:?}")))
            }
            TokenCheck::Valid(e) => Ok(Some(*e)),
        }
    }

    /// Asks for a session's seat; the answer may come at once.
    pub(super) fn ask_seat(&mut self, id: u64, left: f64, e: Entitlement) {
        let now = self.now;
        // What time has brought comes first: a lease that ran out while we stood still gives nothing any more.
        self.seats_tick();
        let name: SeatName = (e.school, e.token);
        if let Some(s) = self.sess.get_mut(&id) {
            s.seat = Some(Seat { name: name.clone(), expires: e.expires, waiting: true, watched: false });
        }
        if let Some(before) = self.seat_of.insert(name.clone(), id) {
            self.lose_seat(before, seats::EndReason::Moved);
        }
        let Some(holder) = &mut self.holder else { return };
        let out = holder.request_seat(now, &name.0, &name.1, e.expires, left);
        self.seats_out(out);
    }

    fn renew(&mut self, sock: u64, key: &RequestKey, shown: TokenCheck) {
        let e = match shown {
            TokenCheck::Valid(e) if e.expires <= self.now => {
                return self.error(sock, key, ErrorCode::TokenRefused, EXPIRED);
            }
            TokenCheck::Valid(e) => e,
            TokenCheck::Refused(why) => return self.error(sock, key, ErrorCode::TokenRefused, why),
            TokenCheck::TooFast => {
                return self.error(sock, key, ErrorCode::TooFast, "too many tokens a second");
            }
            TokenCheck::Missing => return self.error(sock, key, ErrorCode::TokenMissing, "no token came"),
        };
        self.seats_tick();
        let Some(&id) = self.keys.get(key) else {
            return self.error(sock, key, ErrorCode::UnknownKey, "no session has this key");
        };
        let now = self.now;
        let live = self.sess.get_mut(&id).filter(|s| matches!(s.stage, Stage::Asked | Stage::Playing));
        let Some(seat) = live.and_then(|s| s.seat.as_mut()) else {
            return self.error(sock, key, ErrorCode::UnknownKey, "no session with a seat has this key");
        };
        if seat.name != (e.school.clone(), e.token.clone()) {
            let what = "the token is not a renewal of the session's: its school or id is another";
            return self.error(sock, key, ErrorCode::TokenRefused, what);
        }
        if e.expires > seat.expires {
            seat.expires = e.expires;
        }
        let (waiting, lasts) = (seat.waiting, seat.expires - now);
        self.bind(id, sock);
        let Some(holder) = &mut self.holder else { return };
        let out = holder.request_seat(now, &e.school, &e.token, e.expires, f64::INFINITY);
        if !waiting {
            self.watch_seat(id);
        }
        self.say(Some(sock), ToPlayer::Renewed { key: key.clone(), lasts });
        self.seats_out(out);
    }

    /// Sets when the player is told that its token runs out. One timer for a session, however often it is renewed.
    pub(super) fn watch_seat(&mut self, id: u64) {
        let warn = self.book.tokens.as_ref().map_or(0.0, |t| t.warn);
        let playing = self.sess.get_mut(&id).filter(|s| s.stage == Stage::Playing);
        if let Some(seat) = playing.and_then(|s| s.seat.as_mut()).filter(|seat| !seat.watched) {
            seat.watched = true;
            self.timers.set((seat.expires - warn).max(self.now), Timer::SeatEnds { sess: id });
        }
    }

    pub(super) fn warn_expiring(&mut self, id: u64) {
        let warn = self.book.tokens.as_ref().map_or(0.0, |t| t.warn);
        let Some(s) = self.sess.get_mut(&id).filter(|s| s.stage == Stage::Playing) else { return };
        let Some(seat) = s.seat.as_mut() else { return };
        seat.watched = false;
        let after = seat.expires - self.now;
        if after > warn {
            // Renewed since.
            return self.watch_seat(id);
        }
        let (sock, key) = (s.sock, s.key.clone());
        if after > 0.0 {
            self.say(sock, ToPlayer::Expiring { key, after });
        }
    }

    pub(super) fn seats_tick(&mut self) {
        let out = self.holder.as_mut().map(|h| h.tick(self.now)).unwrap_or_default();
        self.seats_out(out);
    }

    /// Does what the holder says.
    pub(super) fn seats_out(&mut self, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Send(word) => self.effects.push(Effect::Keeper(word)),
                Output::Granted { school, token } => match self.seat_of.get(&(school.clone(), token.clone()))
                {
                    Some(&id) => self.seated(id),
                    None => {
                        let back = self.holder.as_mut().map(|h| h.release(self.now, &school, &token));
                        self.seats_out(back.unwrap_or_default());
                    }
                },
                Output::Refused { school, token, why } => {
                    if let Some(id) = self.seat_of.remove(&(school, token)) {
                        self.no_seat(id, why);
                    }
                }
                Output::Ended { school, token, why } => {
                    if let Some(id) = self.seat_of.remove(&(school, token)) {
                        self.lose_seat(id, why);
                    }
                }
            }
        }
    }

    /// A request has its seat: the decisions get it, unless it had it before.
    fn seated(&mut self, id: u64) {
        let Some(seat) = self.sess.get_mut(&id).and_then(|s| s.seat.as_mut()) else { return };
        if std::mem::replace(&mut seat.waiting, false) {
            self.admit(id);
        }
    }

    fn no_seat(&mut self, id: u64, why: RefusalReason) {
        let most = self.book.director.come_back;
        if let Some(s) = self.sess.get_mut(&id) {
            s.seat = None;
        }
        match why {
            RefusalReason::Full { come_back } => {
                let come_back = Some(most.map_or(come_back, |most| come_back.min(most)));
                self.answer(id, |key| ToPlayer::Busy { key, come_back });
            }
            RefusalReason::NoKeeper => self.answer(id, |key| ToPlayer::Busy { key, come_back: most }),
            RefusalReason::Expired => {
                self.answer(id, |key| ToPlayer::Failed { key, why: FailureReason::Expired });
            }
        }
        self.over(id);
    }

    /// A session's seat is no more its own: it ends, wherever it is.
    fn lose_seat(&mut self, id: u64, why: seats::EndReason) {
        let Some(s) = self.sess.get_mut(&id) else { return };
        let waiting = s.seat.take().is_some_and(|seat| seat.waiting);
        let (stage, out) = (s.stage, s.attempt.is_some());
        match stage {
            Stage::Over | Stage::Ending => {}
            Stage::Asked => {
                match (waiting, out) {
                    (true, _) => {}
                    (false, true) => self.give_up(id, SetupOutcome::Withdrawn, true),
                    (false, false) => self.round.departures.push(SessId(id)),
                }
                let why = match why {
                    seats::EndReason::Expired => FailureReason::Expired,
                    seats::EndReason::Moved => FailureReason::SeatMoved,
                    seats::EndReason::Lapsed => FailureReason::SeatLost,
                };
                self.answer(id, |key| ToPlayer::Failed { key, why });
                self.over(id);
            }
            Stage::Playing => self.end_playing(
                id,
                match why {
                    seats::EndReason::Expired => EndReason::Expired,
                    seats::EndReason::Moved => EndReason::SeatMoved,
                    seats::EndReason::Lapsed => EndReason::SeatLost,
                },
            ),
        }
    }

    /// The session holds nothing any more: its seat goes back.
    pub(super) fn give_back(&mut self, id: u64) {
        let Some(seat) = self.sess.get_mut(&id).and_then(|s| s.seat.take()) else { return };
        if self.seat_of.get(&seat.name) == Some(&id) {
            self.seat_of.remove(&seat.name);
            let back = self.holder.as_mut().map(|h| h.release(self.now, &seat.name.0, &seat.name.1));
            self.seats_out(back.unwrap_or_default());
        }
    }
}

/// The director's side of the seats, if any group needs them.
pub(super) fn holder(book: &kelpdoor_script::Deployment, nonce: impl FnOnce() -> u64) -> Option<Holder> {
    let k = book.keeper.as_ref().filter(|_| book.groups.iter().any(|g| g.token))?;
    let lease = seats::LeaseTerms { duration: k.lease, clock_error: k.clock_error };
    let patience = seats::HolderTimeouts::new(k.wait, k.beat_every, k.ahead);
    Some(Holder::new(seats::DirectorId(book.director.me), nonce(), lease, patience))
}
