package sycamorehill.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when senders of streams, or the path to all of them, count as silent.
 */
class StreamActivityTests {

	private static final long MILLI = 1_000_000;

	private final StreamActivity<String> activity = StreamActivity.of(Duration.ofMillis(450), Duration.ofMillis(1100));

	private long now;

	private void startStream(String sender) {
		this.activity.recordRequestSent(sender, this.now);
		this.activity.recordStreamStarted(sender, this.now);
	}

	// Checks every 100 ms, as the node does, while some senders go on.
	private List<String> pass(long millis, String... active) {
		List<String> silent = new ArrayList<>();
		for (long end = this.now + millis * MILLI; this.now < end;) {
			this.now += 100 * MILLI;
			for (String sender : active) {
				this.activity.recordProgress(sender, this.now);
			}
			this.activity.findSilentSenders(this.now).forEach((silence) -> silent.add(silence.sender()));
		}
		return silent;
	}

	@Test
	void aSenderWhoseStartedStreamsPauseIsSilentWhileOthersGoOn() {
		startStream("a");
		startStream("b");
		assertThat(pass(400, "b")).isEmpty();
		assertThat(pass(200, "b")).containsExactly("a");
		assertThat(pass(1000, "b")).isEmpty();
	}

	// If all are silent, the path is tested first: moving streams to other silent senders
	// would help nobody.
	@Test
	void silenceOfAllSendersIsReportedAsThatOfThePathFirst() {
		startStream("a");
		startStream("b");
		pass(200);
		assertThat(this.activity.isPathSilent(this.now)).isFalse();
		pass(100);
		assertThat(this.activity.isPathSilent(this.now)).isTrue();
		assertThat(this.activity.isPathSilent(this.now)).isFalse();
		assertThat(pass(200)).isEmpty();
		assertThat(pass(200)).containsExactlyInAnyOrder("a", "b");
	}

	@Test
	void silentSendersAreNotHeldBackOnceThePathIsProven() {
		startStream("a");
		startStream("b");
		pass(300);
		assertThat(this.activity.isPathSilent(this.now)).isTrue();
		this.activity.markPathProven();
		assertThat(pass(200)).containsExactlyInAnyOrder("a", "b");
	}

	// One silent target must not pass for a broken path.
	@Test
	void aSingleSenderIsNotThePath() {
		startStream("a");
		this.activity.recordRequestSent("b", this.now);
		pass(400);
		assertThat(this.activity.isPathSilent(this.now)).isFalse();
	}

	// The process was paused: bytes that have arrived are read after the check.
	@Test
	void aPauseOfThisProcessIsNoSilenceOfOthers() {
		startStream("a");
		startStream("b");
		pass(100, "a", "b");
		this.now += 3000 * MILLI;
		assertThat(this.activity.findSilentSenders(this.now)).isEmpty();
	}

	// A busy machine stopped this process and its targets. The checks after the pause
	// come
	// in time, and the targets have not sent anything yet.
	@Test
	void theTimeOfAPauseOfThisProcessDoesNotCountAsSilence() {
		startStream("a");
		startStream("b");
		this.activity.recordRequestSent("waiting", this.now);
		assertThat(pass(100, "a", "b")).isEmpty();
		assertThat(pass(200, "b")).isEmpty();
		this.now += 1500 * MILLI;
		assertThat(this.activity.findSilentSenders(this.now)).isEmpty();
		assertThat(pass(200, "b")).isEmpty();
		assertThat(pass(100, "b")).containsExactly("a");
		assertThat(pass(400, "a", "b")).isEmpty();
		assertThat(pass(200, "a", "b")).containsExactly("waiting");
	}

	// The time before a request was sent must not be taken off its silence.
	@Test
	void aPauseBeforeARequestDoesNotDelayItsSilence() {
		startStream("b");
		pass(100, "b");
		this.now += 1500 * MILLI;
		this.activity.recordProgress("b", this.now);
		startStream("a");
		assertThat(this.activity.findSilentSenders(this.now)).isEmpty();
		assertThat(pass(400, "b")).isEmpty();
		assertThat(pass(100, "b")).containsExactly("a");
	}

	@Test
	void withABrokenPathShortSilencesAreReported() {
		startStream("a");
		this.activity.recordRequestSent("b", this.now);
		this.now += 300 * MILLI;
		assertThat(this.activity.findStalledSenders(this.now)).extracting(StreamActivity.Silence::sender)
			.containsExactlyInAnyOrder("a", "b");
	}

	// Open connections go on although new ones fail: what waits there for its first event
	// must not be moved.
	@Test
	void requestsThatWaitAreNotStalledWhileStreamsGoOn() {
		startStream("a");
		this.activity.recordRequestSent("b", this.now);
		this.now += 300 * MILLI;
		this.activity.recordProgress("a", this.now);
		assertThat(this.activity.findStalledSenders(this.now)).isEmpty();
	}

	// A caller that doesn't read its stream stops the node from reading its target: the
	// target must not count as silent, and its other streams must not be moved.
	@Test
	void streamsThatAreNotReadForASlowCallerAreNoSilence() {
		startStream("a");
		startStream("b");
		this.activity.recordPaused("a");
		assertThat(pass(2000, "b")).isEmpty();
		this.activity.recordResumed("a", this.now);
		assertThat(pass(400, "b")).isEmpty();
		assertThat(pass(200, "b")).containsExactly("a");
	}

	// The engine has stopped all streams; that one caller is slow must not hide it.
	@Test
	void oneSlowCallerDoesNotHideTheSilenceOfTheOtherStreams() {
		startStream("a");
		startStream("a");
		startStream("b");
		this.activity.recordPaused("a");
		assertThat(pass(600, "b")).containsExactly("a");
	}

	@Test
	void pausedStreamsAreNoBrokenPath() {
		startStream("a");
		startStream("b");
		this.activity.recordPaused("a");
		this.activity.recordPaused("b");
		pass(400);
		assertThat(this.activity.isPathSilent(this.now)).isFalse();
	}

}
