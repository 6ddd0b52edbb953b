package sycamorehill.model.policy;

import java.time.Duration;

/**
 * The one knob of group control: what a second of group downtime costs against a second
 * of a stranded accelerator. Everything that trades one for the other is worked out from
 * it.
 *
 * @param downtimeShare from 0, only stranded accelerators count, to 1, only downtime
 * counts
 */
public record GroupWeights(double downtimeShare) {

	private static final Duration SHORTEST_SILENCE = Duration.ofSeconds(6);

	private static final Duration LONGEST_SILENCE = Duration.ofSeconds(12);

	private static final double SPARES_FROM = 0.6;

	/**
	 * Refuses a share out of range.
	 */
	public GroupWeights {
		if (!(downtimeShare >= 0 && downtimeShare <= 1)) {
			throw new IllegalArgumentException("the downtime share must be from 0 to 1, not " + downtimeShare);
		}
	}

	/**
	 * The weights that hold where the settings say nothing.
	 * @return both count alike
	 */
	public static GroupWeights standard() {
		return new GroupWeights(0.5);
	}

	/**
	 * How long a member may be silent before it is taken for dead: a rebuild strands its
	 * whole group for a load, a wait costs downtime.
	 * @return the silence
	 */
	public Duration deadAfter() {
		long range = LONGEST_SILENCE.toMillis() - SHORTEST_SILENCE.toMillis();
		return LONGEST_SILENCE.minusMillis(Math.round(range * this.downtimeShare));
	}

	/**
	 * Whether VMs are claimed ahead of time although a ticket asks for none.
	 * @return whether one standby is kept for each set whose VMs are at hand
	 */
	public boolean keepsStandby() {
		return this.downtimeShare >= SPARES_FROM;
	}

}
