package sycamorehill.logic.request;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;

import static org.assertj.core.api.Assertions.assertThat;

class TokenRelayTests {

	private static final NodeIncarnation NODE = NodeIncarnation.of(NodeName.of("n1"), 1);

	private static final AttemptIdentifier FIRST = AttemptIdentifier.of(NODE, 1);

	private static final AttemptIdentifier SECOND = AttemptIdentifier.of(NODE, 2);

	private final TokenRelay oneDelivered = TokenRelay.create().startAttempt(FIRST).acceptToken(FIRST, 0).relay();

	@Test
	void tokensAreDeliveredInOrder() {
		assertThat(this.oneDelivered.acceptToken(FIRST, 1).status()).isEqualTo(FrameStatus.DELIVER);
	}

	// A second target that starts over instead of resuming must not give the caller
	// duplicate tokens.
	@Test
	void indexIsDeliveredOnce() {
		assertThat(this.oneDelivered.startAttempt(SECOND).acceptToken(SECOND, 0).status())
			.isEqualTo(FrameStatus.DUPLICATE);
	}

	// The target of an abandoned attempt may continue to send while the second attempt
	// runs.
	@Test
	void lateTokenOfAnAbandonedAttemptIsDropped() {
		assertThat(this.oneDelivered.startAttempt(SECOND).acceptToken(FIRST, 1).status()).isEqualTo(FrameStatus.STALE);
	}

	@Test
	void tokenBetweenAttemptsIsDropped() {
		assertThat(this.oneDelivered.endAttempt(FIRST).acceptToken(FIRST, 1).status()).isEqualTo(FrameStatus.STALE);
	}

	@Test
	void lateEndOfAnAbandonedAttemptKeepsTheCurrentOne() {
		TokenRelay second = this.oneDelivered.startAttempt(SECOND);
		assertThat(second.endAttempt(FIRST)).isEqualTo(second);
	}

	@Test
	void missingIndexIsAGap() {
		assertThat(this.oneDelivered.acceptToken(FIRST, 2).status()).isEqualTo(FrameStatus.GAP);
	}

	@Test
	void matchingEndMarkCompletesTheAnswer() {
		assertThat(this.oneDelivered.acceptEndMark(FIRST, 1).relay().complete()).isTrue();
	}

	// An end mark that arrives before the last tokens must not make a truncated answer
	// look complete.
	@Test
	void endMarkBeforeTheLastTokenDoesNotCompleteTheAnswer() {
		assertThat(this.oneDelivered.acceptEndMark(FIRST, 2).status()).isEqualTo(FrameStatus.TRUNCATED);
	}

	@Test
	void endMarkOfAnotherAttemptIsDropped() {
		assertThat(this.oneDelivered.startAttempt(SECOND).acceptEndMark(FIRST, 1).status())
			.isEqualTo(FrameStatus.STALE);
	}

	@Test
	void nothingIsDeliveredAfterTheEndMark() {
		TokenRelay whole = this.oneDelivered.acceptEndMark(FIRST, 1).relay();
		assertThat(whole.acceptToken(FIRST, 1).status()).isEqualTo(FrameStatus.STALE);
	}

}
