package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.ConnectionUse;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what the log says of a request that was served.
 */
class ServedRequestLogTests {

	private static final Instant NOW = Instant.EPOCH;

	// Guards against an answer whose connection nobody can tell afterwards.
	@Test
	void theConnectionOfTheAnswerIsNamed() {
		TargetDirectory directory = TargetDirectory.create();
		RequestDispatcher dispatcher = RequestDispatcher.of(ServingSamples.settings("one"), directory, new Random(1));
		dispatcher.adopt(ServingSamples.configuration(1));
		directory.replaceAll(List.of(ServingSamples.plain("p1")), NOW);
		Effects effects = Effects.create();
		dispatcher.handleRequest(ServingSamples.request(1, "/once/x"), NOW, NOW, effects);
		AttemptEnd end = new AttemptEnd.Delivered(200, Duration.ZERO, Optional.of(new ConnectionUse(7, 2)));
		dispatcher.handleAttemptEnd(1, 1, end, NOW, effects);
		assertThat(effects.all()).anyMatch((effect) -> effect instanceof EntryEffect.Log log
				&& log.line().event() == LogEvent.REQUEST_SERVED && log.line().detail().endsWith(" connection=7/2"));
	}

}
