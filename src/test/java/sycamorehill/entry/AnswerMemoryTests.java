package sycamorehill.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the limit of the memory that answers hold together.
 */
class AnswerMemoryTests {

	private static final int LARGE = 8 * 1024 * 1024;

	private final AnswerMemory memory = AnswerMemory.create();

	// Guards against answers that each keep to their limit and together fill the memory.
	@Test
	void answersTogetherHoldNoMoreThanTheLimit() {
		int held = 0;
		while (this.memory.resize(0, LARGE)) {
			held++;
		}
		assertThat(held).isEqualTo(AnswerMemory.MAXIMUM_BYTES / (LARGE - AnswerMemory.FREE_BYTES_PER_ANSWER));
		assertThat(this.memory.heldBytes()).isLessThanOrEqualTo(AnswerMemory.MAXIMUM_BYTES);
	}

	// Guards against small answers that fail because large ones hold the memory.
	@Test
	void smallAnswersAreHeldWhenLargeOnesFillTheMemory() {
		assertThat(this.memory.resize(0, AnswerMemory.MAXIMUM_BYTES + AnswerMemory.FREE_BYTES_PER_ANSWER)).isTrue();
		assertThat(this.memory.resize(0, AnswerMemory.FREE_BYTES_PER_ANSWER)).isTrue();
		assertThat(this.memory.resize(0, AnswerMemory.FREE_BYTES_PER_ANSWER + 1)).isFalse();
	}

	@Test
	void memoryIsFreeAgainWhenAnAnswerHasEnded() {
		assertThat(this.memory.resize(0, LARGE)).isTrue();
		assertThat(this.memory.resize(LARGE, 0)).isTrue();
		assertThat(this.memory.heldBytes()).isZero();
	}

}
