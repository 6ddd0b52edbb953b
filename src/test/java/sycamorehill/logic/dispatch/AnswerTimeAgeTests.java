package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.MemberState;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what the answer times of a bad second mean for later requests.
 */
class AnswerTimeAgeTests {

	private static final Duration SLOW_ANSWER = Duration.ofMillis(5500);

	private static final Duration SOUND_ANSWER = Duration.ofMillis(30);

	/** Time by which idle targets must get requests again. */
	private static final Duration RECOVERY_TIME = Duration.ofSeconds(10);

	private Instant now = Instant.ofEpochSecond(1000);

	private long requests;

	private final TargetDirectory directory = TargetDirectory.create();

	private RequestDispatcher dispatcher;

	@BeforeEach
	void createDispatcher() {
		this.dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), this.directory, new Random(1));
		this.dispatcher.updateRetryShare(new RetryShare(10, 4, 0));
		this.dispatcher.adopt(ServingSamples.configuration(1));
		this.directory.replaceAll(List.of(ServingSamples.plain("p1"), ServingSamples.plain("p2"),
				ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN),
				ServingSamples.member("a2", "small.1", 1, 1, MemberState.READY),
				ServingSamples.member("b1", "small.2", 2, 0, MemberState.OPEN),
				ServingSamples.member("b2", "small.2", 2, 1, MemberState.READY)), this.now);
	}

	private Optional<TargetName> arrive(String path) {
		Effects effects = Effects.create();
		this.dispatcher.handleRequest(ServingSamples.request(++this.requests, path), this.now, this.now, effects);
		return effects.all()
			.stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name())
			.findFirst();
	}

	private void answer(long number) {
		this.dispatcher.handleFirstEvent(number, this.now);
		this.dispatcher.handleAttemptEnd(number, 1, new AttemptEnd.Delivered(200, Duration.ZERO, Optional.empty()),
				this.now, Effects.create());
	}

	private Optional<TargetName> send(String path, Duration answerTime) {
		Optional<TargetName> target = arrive(path);
		if (target.isPresent()) {
			this.now = this.now.plus(answerTime);
			answer(this.requests);
		}
		return target;
	}

	// All requests of a bad second are answered late at the same moment.
	private void answerAllTargetsLate(String path) {
		Set<TargetName> used = new HashSet<>();
		while (used.size() < 2 && this.requests < 8) {
			arrive(path).ifPresent(used::add);
		}
		assertThat(used).hasSize(2);
		this.now = this.now.plus(SLOW_ANSWER);
		LongStream.rangeClosed(1, this.requests).forEach(this::answer);
		assertThat(arrive(path)).isEmpty();
	}

	// Guards against idle targets that get no requests for good because their answers in
	// one bad second were late.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/again/x", "/single/x", "/stream/x" })
	void idleTargetsGetRequestsAgainSecondsAfterLateAnswers(String path) {
		answerAllTargetsLate(path);
		this.now = this.now.plus(RECOVERY_TIME);
		for (int request = 0; request < 50; request++) {
			assertThat(send(path, SOUND_ANSWER)).as("request " + request).isPresent();
			this.now = this.now.plusMillis(10);
		}
	}

	// Guards against a sound target that gets no requests, while another one is free,
	// because its first answer was slow.
	@Test
	void aTargetWhoseFirstAnswerWasSlowIsTriedAgain() {
		Optional<TargetName> slow = send("/once/x", SLOW_ANSWER);
		Set<TargetName> used = new HashSet<>();
		for (int request = 0; request < 300; request++) {
			send("/once/x", SOUND_ANSWER).ifPresent(used::add);
			this.now = this.now.plusMillis(70);
		}
		assertThat(used).contains(slow.orElseThrow());
	}

	// Guards against a target whose answers stay late and that counts as sound again
	// before it has answered.
	@Test
	void aTargetThatStaysSlowGetsNoRequestsAtOnce() {
		answerAllTargetsLate("/once/x");
		this.now = this.now.plusSeconds(2);
		assertThat(send("/once/x", SLOW_ANSWER)).isEmpty();
	}

}
