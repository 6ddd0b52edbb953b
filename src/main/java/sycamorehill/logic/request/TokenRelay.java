package sycamorehill.logic.request;

import java.util.Optional;

import sycamorehill.model.identity.AttemptIdentifier;

/**
 * Decides for one request which tokens of its attempts are delivered to the caller. Only
 * frames of the current attempt are accepted, each index is delivered once and in order,
 * and the answer is complete only with an end mark that matches the number of delivered
 * tokens.
 *
 * @param attempt the current attempt, empty between attempts
 * @param nextIndex the index of the next token to deliver, from which a retry resumes
 * @param complete whether the caller has received the complete answer
 */
public record TokenRelay(Optional<AttemptIdentifier> attempt, int nextIndex, boolean complete) {

	/**
	 * Creates the relay of a request without attempts.
	 * @return the relay
	 */
	public static TokenRelay create() {
		return new TokenRelay(Optional.empty(), 0, false);
	}

	/**
	 * Returns the relay with a new current attempt. Frames of the previous attempt are no
	 * longer accepted.
	 * @param started the new attempt
	 * @return the new relay
	 */
	public TokenRelay startAttempt(AttemptIdentifier started) {
		return new TokenRelay(Optional.of(started), this.nextIndex, this.complete);
	}

	/**
	 * Returns the relay without an attempt that completed, failed or was cancelled. Its
	 * frames are no longer accepted.
	 * @param ended the attempt; ignored unless it is the current one
	 * @return the new relay
	 */
	public TokenRelay endAttempt(AttemptIdentifier ended) {
		return isCurrent(ended) ? new TokenRelay(Optional.empty(), this.nextIndex, this.complete) : this;
	}

	/**
	 * Checks a token.
	 * @param from the attempt that sent the token
	 * @param index the index of the token in the complete answer, from 0
	 * @return the decision on the token
	 */
	public FrameDecision acceptToken(AttemptIdentifier from, int index) {
		// A late frame of an abandoned attempt, or of another request on a reused
		// connection, would give the caller a duplicate token or one of another answer.
		// Attempt identifiers are unique, so comparing them rejects both.
		if (!isCurrent(from) || this.complete) {
			return new FrameDecision(FrameStatus.STALE, this);
		}
		// A target may start over instead of resuming, or send a frame twice. Its
		// duplicate tokens have a lower index.
		if (index < this.nextIndex) {
			return new FrameDecision(FrameStatus.DUPLICATE, this);
		}
		// A lost or reordered frame would leave a gap that the caller cannot detect.
		if (index > this.nextIndex) {
			return new FrameDecision(FrameStatus.GAP, this);
		}
		return new FrameDecision(FrameStatus.DELIVER, new TokenRelay(this.attempt, this.nextIndex + 1, false));
	}

	/**
	 * Checks an end mark.
	 * @param from the attempt that sent the end mark
	 * @param tokens the number of tokens of the complete answer
	 * @return the decision on the end mark
	 */
	public FrameDecision acceptEndMark(AttemptIdentifier from, int tokens) {
		if (!isCurrent(from) || this.complete) {
			return new FrameDecision(FrameStatus.STALE, this);
		}
		// An end mark that arrives before the last tokens would make a truncated answer
		// look complete.
		if (tokens != this.nextIndex) {
			return new FrameDecision(FrameStatus.TRUNCATED, this);
		}
		return new FrameDecision(FrameStatus.COMPLETE, new TokenRelay(Optional.empty(), this.nextIndex, true));
	}

	private boolean isCurrent(AttemptIdentifier other) {
		return this.attempt.isPresent() && this.attempt.get().equals(other);
	}

}
