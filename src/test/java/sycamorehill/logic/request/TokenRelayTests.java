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

	private final TokenRelay oneDelivered = TokenRelay.create().begin(FIRST).token(FIRST, 0).relay();

	@Test
	void tokensGoOutInOrder() {
		assertThat(this.oneDelivered.token(FIRST, 1).verdict()).isEqualTo(TokenVerdict.DELIVER);
	}

	// A caller reads a word twice: the second target started over instead of resuming.
	@Test
	void indexGoesOutOnce() {
		assertThat(this.oneDelivered.begin(SECOND).token(SECOND, 0).verdict()).isEqualTo(TokenVerdict.REPEATED);
	}

	// A caller reads a word of another answer: the abandoned attempt's target woke up and
	// sent on while the second attempt was under way.
	@Test
	void lateTokenOfAnAbandonedAttemptIsDropped() {
		assertThat(this.oneDelivered.begin(SECOND).token(FIRST, 1).verdict()).isEqualTo(TokenVerdict.FOREIGN);
	}

	@Test
	void tokenBetweenAttemptsIsDropped() {
		assertThat(this.oneDelivered.end(FIRST).token(FIRST, 1).verdict()).isEqualTo(TokenVerdict.FOREIGN);
	}

	@Test
	void lateEndOfAnAbandonedAttemptLeavesThePresentOne() {
		TokenRelay second = this.oneDelivered.begin(SECOND);
		assertThat(second.end(FIRST)).isEqualTo(second);
	}

	@Test
	void missingIndexBreaksTheAttempt() {
		assertThat(this.oneDelivered.token(FIRST, 2).verdict()).isEqualTo(TokenVerdict.GAP);
	}

	@Test
	void endMarkThatFitsMakesTheAnswerWhole() {
		assertThat(this.oneDelivered.endMark(FIRST, 1).relay().whole()).isTrue();
	}

	// A caller takes half a delivery note for the whole: the end mark overtook the last
	// tokens.
	@Test
	void endMarkBeforeTheLastTokenIsNotWhole() {
		assertThat(this.oneDelivered.endMark(FIRST, 2).verdict()).isEqualTo(TokenVerdict.CUT);
	}

	@Test
	void endMarkOfAnotherAttemptIsDropped() {
		assertThat(this.oneDelivered.begin(SECOND).endMark(FIRST, 1).verdict()).isEqualTo(TokenVerdict.FOREIGN);
	}

	@Test
	void nothingGoesOutAfterTheEndMark() {
		TokenRelay whole = this.oneDelivered.endMark(FIRST, 1).relay();
		assertThat(whole.token(FIRST, 1).verdict()).isEqualTo(TokenVerdict.FOREIGN);
	}

}
