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

	// A caller reads a word twice: the second target started over instead of resuming.
	@Test
	void indexIsDeliveredOnce() {
		assertThat(this.oneDelivered.startAttempt(SECOND).acceptToken(SECOND, 0).status())
			.isEqualTo(FrameStatus.DUPLICATE);
	}

	// A caller reads a word of another answer: the abandoned attempt's target woke up and
	// sent on while the second attempt was under way.
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

	// A caller takes half a delivery note for the whole: the end mark overtook the last
	// tokens.
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
