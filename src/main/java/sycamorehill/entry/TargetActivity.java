package sycamorehill.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.TargetName;

/**
 * Watches whether the targets that stream answers make progress. A group that lost a
 * member stands still on all its streams at once, while its head goes on accepting
 * requests: this is the first sign of it, seconds before the directory tells.
 */
final class TargetActivity {

	/**
	 * Pause of all begun streams of a target that counts as silence. Events are 30 to 80
	 * ms apart, and up to 200 ms while long prompts are read beside them.
	 */
	private static final Duration SILENCE = Duration.ofMillis(450);

	/** The same while no stream has begun: a first event takes up to 500 ms in time. */
	private static final Duration FIRST_SILENCE = Duration.ofMillis(1100);

	private final Map<TargetName, Progress> byTarget = new HashMap<>();

	private TargetActivity() {
	}

	static TargetActivity create() {
		return new TargetActivity();
	}

	void sent(TargetName target, long nowNanos) {
		Progress progress = this.byTarget.computeIfAbsent(target, (name) -> new Progress());
		if (progress.waiting + progress.begun == 0) {
			progress.lastNanos = nowNanos;
			progress.told = false;
		}
		progress.waiting++;
	}

	void begun(TargetName target, long nowNanos) {
		Progress progress = this.byTarget.get(target);
		if (progress != null) {
			progress.waiting--;
			progress.begun++;
			progressed(target, nowNanos);
		}
	}

	void progressed(TargetName target, long nowNanos) {
		Progress progress = this.byTarget.get(target);
		if (progress != null) {
			progress.lastNanos = nowNanos;
			progress.told = false;
		}
	}

	void ended(TargetName target, boolean hadBegun, long nowNanos) {
		Progress progress = this.byTarget.get(target);
		if (progress == null) {
			return;
		}
		if (hadBegun) {
			progress.begun--;
		}
		else {
			progress.waiting--;
		}
		if (progress.waiting + progress.begun <= 0) {
			this.byTarget.remove(target);
		}
	}

	/**
	 * Finds the targets that have fallen silent since the last look.
	 * @param nowNanos the present time
	 * @return the targets, each once for each silence
	 */
	List<TargetName> silent(long nowNanos) {
		List<TargetName> found = new ArrayList<>();
		this.byTarget.forEach((name, progress) -> {
			Duration most = (progress.begun > 0) ? SILENCE : FIRST_SILENCE;
			if (!progress.told && nowNanos - progress.lastNanos > most.toNanos()) {
				progress.told = true;
				found.add(name);
			}
		});
		return found;
	}

	/**
	 * Streams of one target.
	 */
	private static final class Progress {

		private int waiting;

		private int begun;

		private long lastNanos;

		private boolean told;

	}

}
