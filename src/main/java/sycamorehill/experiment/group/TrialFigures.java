package sycamorehill.experiment.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What a trial has measured.
 */
public final class TrialFigures {

	private static final double NANOSECONDS = 1e9;

	private final List<String> violations = new ArrayList<>();

	private Duration downtime = Duration.ZERO;

	private Duration stranded = Duration.ZERO;

	private Duration bound = Duration.ZERO;

	private long platformCalls;

	private long streams;

	private long brokenStreams;

	private long changes;

	void down(int groups, Duration step) {
		this.downtime = this.downtime.plus(step.multipliedBy(groups));
	}

	void stranded(int vms, Duration step) {
		this.stranded = this.stranded.plus(step.multipliedBy(vms));
	}

	void bound(Duration time) {
		this.bound = this.bound.plus(time);
	}

	void platformCall() {
		this.platformCalls++;
	}

	void stream() {
		this.streams++;
	}

	void brokenStream() {
		this.brokenStreams++;
	}

	void changes(long generations) {
		this.changes = generations;
	}

	void violation(String text) {
		this.violations.add(text);
	}

	/**
	 * Seconds of groups that were asked for and did not serve.
	 * @return the seconds
	 */
	public double downtimeSeconds() {
		return this.downtime.toNanos() / NANOSECONDS;
	}

	/**
	 * Seconds of VMs that were claimed, ran and served nothing.
	 * @return the seconds
	 */
	public double strandedSeconds() {
		return this.stranded.toNanos() / NANOSECONDS;
	}

	/**
	 * Seconds of downtime that no repair could have avoided: for each failure that struck
	 * a group one report and one load alone where VMs were left to repair it, else the
	 * failure itself.
	 * @return the seconds
	 */
	public double boundSeconds() {
		return this.bound.toNanos() / NANOSECONDS;
	}

	/**
	 * Calls to the platform.
	 * @return the count
	 */
	public long platformCalls() {
		return this.platformCalls;
	}

	/**
	 * Streams begun.
	 * @return the count
	 */
	public long streams() {
		return this.streams;
	}

	/**
	 * Streams that a failure cut off.
	 * @return the count
	 */
	public long brokenStreams() {
		return this.brokenStreams;
	}

	/**
	 * Generations given to groups: each is a whole load.
	 * @return the count
	 */
	public long generations() {
		return this.changes;
	}

	/**
	 * What must never happen and did.
	 * @return one text for each
	 */
	public List<String> violations() {
		return List.copyOf(this.violations);
	}

}
