//! Sessions that need a token and a seat: from the check of the token until the placement logic gets the request, and
//! the end of sessions that lose their seat. [`Holder`](kelpdoor_seats::Holder) manages the seats themselves.
//!
//! A request with a valid token waits for its seat for at most half of its time and is answered `busy` without one.
//! A seat belongs to the latest request that shows its token: the session that had it before is ended.

use kelpdoor::ids::SessId;
use kelpdoor::round::SetupOutcome;
use kelpdoor_api::{EndReason, ErrorCode, FailureReason, FromPlayer, RequestKey, ToPlayer};
use kelpdoor_seats::{self as seats, Holder, Output, RefusalReason, School, TokenId};
use kelpdoor_tokens::Entitlement;

use super::CoreState;
use crate::effect::{Effect, TokenCheck};
use crate::session::{Seat, Stage};
use crate::timers::Timer;

const EXPIRED: &str = "the token has expired: ask for a new one";

/// Identifies a seat: the school and the token that claims it.
pub(super) type SeatId = (School, TokenId);

impl CoreState {
    /// Handles a message that came with a token.
    pub(super) fn handle_player_with_token(
        &mut self, sock: u64, message: FromPlayer, delay: f64, check: TokenCheck,
    ) {
        match message {
            FromPlayer::Renew { key, .. } => self.renew_token(sock, &key, check),
            message => self.handle_player(sock, message, delay, check),
        }
    }

    /// Returns the entitlement that a session of the group needs, `None` if the group needs none, or the error for the
    /// player.
    pub(super) fn check_entitlement(
        &self, group: usize, check: TokenCheck,
    ) -> Result<Option<Entitlement>, (ErrorCode, String)> {
        let group = &self.deployment.groups[group];
        if !group.token || self.holder.is_none() {
            return Ok(None);
        }
        match check {
            TokenCheck::Missing => {
                Err((ErrorCode::TokenMissing, format!("group {:?} needs a token", group.name)))
            }
            TokenCheck::Refused(why) => Err((ErrorCode::TokenRefused, why)),
            TokenCheck::TooFast => Err((ErrorCode::TooFast, "too many tokens a second".to_owned())),
            // The token expired while the message waited in the queue.
            TokenCheck::Valid(entitlement) if entitlement.expires <= self.now => {
                Err((ErrorCode::TokenRefused, EXPIRED.to_owned()))
            }
            TokenCheck::Valid(entitlement)
                if entitlement.group.as_ref().is_some_and(|name| *name != group.name) =>
            {
                let token_group = entitlement.group.unwrap_or_default();
                Err((ErrorCode::TokenRefused, format!("the token is for group {token_group:?}")))
            }
            TokenCheck::Valid(entitlement) => Ok(Some(*entitlement)),
        }
    }

    /// Requests a seat for a session. The holder may answer at once.
    pub(super) fn request_seat(&mut self, id: u64, time_left: f64, entitlement: Entitlement) {
        let now = self.now;
        // Timers first: a lease that expired while this process was paused must not grant a seat.
        self.tick_holder();
        let seat_id: SeatId = (entitlement.school, entitlement.token);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.seat = Some(Seat {
                id: seat_id.clone(),
                expires: entitlement.expires,
                waiting: true,
                expiry_timer_set: false,
            });
        }
        if let Some(previous) = self.sess_by_seat.insert(seat_id.clone(), id) {
            self.seat_lost(previous, seats::EndReason::Moved);
        }
        let Some(holder) = &mut self.holder else { return };
        let outputs = holder.request_seat(now, &seat_id.0, &seat_id.1, entitlement.expires, time_left);
        self.apply_holder_outputs(outputs);
    }

    fn renew_token(&mut self, sock: u64, key: &RequestKey, check: TokenCheck) {
        let entitlement = match check {
            TokenCheck::Valid(entitlement) if entitlement.expires <= self.now => {
                return self.send_error(sock, key, ErrorCode::TokenRefused, EXPIRED);
            }
            TokenCheck::Valid(entitlement) => entitlement,
            TokenCheck::Refused(why) => return self.send_error(sock, key, ErrorCode::TokenRefused, why),
            TokenCheck::TooFast => {
                return self.send_error(sock, key, ErrorCode::TooFast, "too many tokens a second");
            }
            TokenCheck::Missing => {
                return self.send_error(sock, key, ErrorCode::TokenMissing, "no token came");
            }
        };
        self.tick_holder();
        let Some(&id) = self.sess_by_key.get(key) else {
            return self.send_error(sock, key, ErrorCode::UnknownKey, "no session has this key");
        };
        let now = self.now;
        let active = self
            .sessions
            .get_mut(&id)
            .filter(|session| matches!(session.stage, Stage::Pending | Stage::Playing));
        let Some(seat) = active.and_then(|session| session.seat.as_mut()) else {
            return self.send_error(sock, key, ErrorCode::UnknownKey, "no session with a seat has this key");
        };
        if seat.id != (entitlement.school.clone(), entitlement.token.clone()) {
            let message = "the token is not a renewal of the session's: its school or id is another";
            return self.send_error(sock, key, ErrorCode::TokenRefused, message);
        }
        if entitlement.expires > seat.expires {
            seat.expires = entitlement.expires;
        }
        let (waiting, lasts) = (seat.waiting, seat.expires - now);
        self.attach_socket(id, sock);
        let Some(holder) = &mut self.holder else { return };
        let outputs = holder.request_seat(
            now,
            &entitlement.school,
            &entitlement.token,
            entitlement.expires,
            f64::INFINITY,
        );
        if !waiting {
            self.set_expiry_timer(id);
        }
        self.send(Some(sock), ToPlayer::Renewed { key: key.clone(), lasts });
        self.apply_holder_outputs(outputs);
    }

    /// Sets the timer that warns the player before its token expires. A session has one such timer, however often its
    /// token is renewed.
    pub(super) fn set_expiry_timer(&mut self, id: u64) {
        let warn = self.deployment.tokens.as_ref().map_or(0.0, |t| t.warn);
        let playing = self.sessions.get_mut(&id).filter(|session| session.stage == Stage::Playing);
        if let Some(seat) =
            playing.and_then(|session| session.seat.as_mut()).filter(|seat| !seat.expiry_timer_set)
        {
            seat.expiry_timer_set = true;
            self.timers.set((seat.expires - warn).max(self.now), Timer::TokenExpiring { sess: id });
        }
    }

    pub(super) fn warn_expiring(&mut self, id: u64) {
        let warn = self.deployment.tokens.as_ref().map_or(0.0, |t| t.warn);
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.stage == Stage::Playing)
        else {
            return;
        };
        let Some(seat) = session.seat.as_mut() else { return };
        seat.expiry_timer_set = false;
        let after = seat.expires - self.now;
        if after > warn {
            // The token was renewed in the meantime.
            return self.set_expiry_timer(id);
        }
        let (sock, key) = (session.sock, session.key.clone());
        if after > 0.0 {
            self.send(sock, ToPlayer::Expiring { key, after });
        }
    }

    pub(super) fn tick_holder(&mut self) {
        let outputs = self.holder.as_mut().map(|holder| holder.tick(self.now)).unwrap_or_default();
        self.apply_holder_outputs(outputs);
    }

    /// Carries out the outputs of the holder.
    pub(super) fn apply_holder_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(request) => self.effects.push(Effect::Keeper(request)),
                Output::Granted { school, token } => {
                    match self.sess_by_seat.get(&(school.clone(), token.clone())) {
                        Some(&id) => self.seat_granted(id),
                        None => {
                            let outputs =
                                self.holder.as_mut().map(|holder| holder.release(self.now, &school, &token));
                            self.apply_holder_outputs(outputs.unwrap_or_default());
                        }
                    }
                }
                Output::Refused { school, token, why } => {
                    if let Some(id) = self.sess_by_seat.remove(&(school, token)) {
                        self.seat_refused(id, why);
                    }
                }
                Output::Ended { school, token, why } => {
                    if let Some(id) = self.sess_by_seat.remove(&(school, token)) {
                        self.seat_lost(id, why);
                    }
                }
            }
        }
    }

    /// Passes a request to the placement logic when its seat is granted for the first time.
    fn seat_granted(&mut self, id: u64) {
        let Some(seat) = self.sessions.get_mut(&id).and_then(|session| session.seat.as_mut()) else { return };
        if std::mem::replace(&mut seat.waiting, false) {
            self.admit(id);
        }
    }

    fn seat_refused(&mut self, id: u64, why: RefusalReason) {
        let max_come_back = self.deployment.director.come_back;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.seat = None;
        }
        match why {
            RefusalReason::Full { come_back } => {
                let come_back =
                    Some(max_come_back.map_or(come_back, |max_come_back| come_back.min(max_come_back)));
                self.send_final(id, |key| ToPlayer::Busy { key, come_back });
            }
            RefusalReason::NoKeeper => {
                self.send_final(id, |key| ToPlayer::Busy { key, come_back: max_come_back })
            }
            RefusalReason::Expired => {
                self.send_final(id, |key| ToPlayer::Failed { key, why: FailureReason::Expired });
            }
        }
        self.finish(id);
    }

    /// Ends a session that lost its seat, whatever its stage.
    fn seat_lost(&mut self, id: u64, why: seats::EndReason) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let waiting = session.seat.take().is_some_and(|seat| seat.waiting);
        let (stage, has_attempt) = (session.stage, session.attempt.is_some());
        match stage {
            Stage::Finished | Stage::TearingDown => {}
            Stage::Pending => {
                match (waiting, has_attempt) {
                    (true, _) => {}
                    (false, true) => self.abandon_setup(id, SetupOutcome::Withdrawn, true),
                    (false, false) => self.round.departures.push(SessId(id)),
                }
                let why = match why {
                    seats::EndReason::Expired => FailureReason::Expired,
                    seats::EndReason::Moved => FailureReason::SeatMoved,
                    seats::EndReason::Lapsed => FailureReason::SeatLost,
                };
                self.send_final(id, |key| ToPlayer::Failed { key, why });
                self.finish(id);
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

    /// Releases the seat of a finished session.
    pub(super) fn release_seat(&mut self, id: u64) {
        let Some(seat) = self.sessions.get_mut(&id).and_then(|session| session.seat.take()) else { return };
        if self.sess_by_seat.get(&seat.id) == Some(&id) {
            self.sess_by_seat.remove(&seat.id);
            let outputs = self.holder.as_mut().map(|holder| holder.release(self.now, &seat.id.0, &seat.id.1));
            self.apply_holder_outputs(outputs.unwrap_or_default());
        }
    }
}

/// Creates the seat holder if the settings have a keeper and a group that needs tokens.
pub(super) fn holder(
    deployment: &kelpdoor_script::Deployment, nonce: impl FnOnce() -> u64,
) -> Option<Holder> {
    let keeper = deployment.keeper.as_ref().filter(|_| deployment.groups.iter().any(|group| group.token))?;
    let lease = seats::LeaseTerms { duration: keeper.lease, clock_error: keeper.clock_error };
    let timeouts = seats::HolderTimeouts::new(keeper.wait, keeper.beat_every, keeper.ahead);
    Some(Holder::new(seats::DirectorId(deployment.director.me), nonce(), lease, timeouts))
}
