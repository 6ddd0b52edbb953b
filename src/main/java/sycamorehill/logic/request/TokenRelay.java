package sycamorehill.logic.request;

import java.util.Optional;

import sycamorehill.model.identity.AttemptIdentifier;

/**
 * Decides for one request which tokens of its attempts reach the caller. Only frames of
 * the present attempt count, each index goes out once and in order, and the answer is
 * whole only with an end mark that fits the tokens delivered.
 *
 * @param attempt the attempt whose frames count, empty between attempts
 * @param nextIndex the index that the caller needs next, and that a further attempt
 * resumes from
 * @param complete whether the caller has the whole answer
 */
public record TokenRelay(Optional<AttemptIdentifier> attempt, int nextIndex, boolean complete) {

	/**
	 * The relay of a request that has no attempt yet.
	 * @return the relay
	 */
	public static TokenRelay create() {
		return new TokenRelay(Optional.empty(), 0, false);
	}

	/**
	 * Begins an attempt; the one before it no longer counts.
	 * @param started the attempt
	 * @return the relay with it
	 */
	public TokenRelay startAttempt(AttemptIdentifier started) {
		return new TokenRelay(Optional.of(started), this.nextIndex, this.complete);
	}

	/**
	 * Ends an attempt, because it broke, ended or was cancelled: nothing of it counts any
	 * more.
	 * @param ended the attempt; another than the present one changes nothing
	 * @return the relay without it
	 */
	public TokenRelay endAttempt(AttemptIdentifier ended) {
		return isCurrent(ended) ? new TokenRelay(Optional.empty(), this.nextIndex, this.complete) : this;
	}

	/**
	 * Takes in a token.
	 * @param from the attempt that it came with
	 * @param index its place in the whole answer, from 0
	 * @return what becomes of it
	 */
	public FrameDecision acceptToken(AttemptIdentifier from, int index) {
		// A late frame of an abandoned attempt, or of another request over a
		// connection that is used again, would show the caller a doubled or foreign
		// token. Attempt identifiers are never drawn twice, so comparing them keeps
		// both out.
		if (!isCurrent(from) || this.complete) {
			return new FrameDecision(FrameStatus.STALE, this);
		}
		// A target that starts over instead of resuming, or sends a frame twice, would
		// double tokens. The index tells.
		if (index < this.nextIndex) {
			return new FrameDecision(FrameStatus.DUPLICATE, this);
		}
		// A lost or overtaking frame would leave a hole that the caller can not see.
		if (index > this.nextIndex) {
			return new FrameDecision(FrameStatus.GAP, this);
		}
		return new FrameDecision(FrameStatus.DELIVER, new TokenRelay(this.attempt, this.nextIndex + 1, false));
	}

	/**
	 * Takes in an end mark.
	 * @param from the attempt that it came with
	 * @param tokens how many tokens the whole answer has
	 * @return whether the answer is whole
	 */
	public FrameDecision acceptEndMark(AttemptIdentifier from, int tokens) {
		if (!isCurrent(from) || this.complete) {
			return new FrameDecision(FrameStatus.STALE, this);
		}
		// An end that overtakes the last tokens would make a cut answer look whole.
		if (tokens != this.nextIndex) {
			return new FrameDecision(FrameStatus.TRUNCATED, this);
		}
		return new FrameDecision(FrameStatus.COMPLETE, new TokenRelay(Optional.empty(), this.nextIndex, true));
	}

	private boolean isCurrent(AttemptIdentifier other) {
		return this.attempt.isPresent() && this.attempt.get().equals(other);
	}

}
