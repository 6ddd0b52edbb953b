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

	private static final Duration MAXIMUM_SILENCE = Duration.ofSeconds(30);

	private static final Duration MINIMUM_SILENCE = Duration.ofSeconds(20);

	private static final double MINIMUM_STANDBY_SHARE = 0.7;

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
	 * What the weights mean for repairs.
	 * @return the rules
	 */
	public RepairRules repairRules() {
		long rangeMillis = MAXIMUM_SILENCE.toMillis() - MINIMUM_SILENCE.toMillis();
		Duration deadAfter = MAXIMUM_SILENCE.minusMillis(Math.round(rangeMillis * this.downtimeShare));
		return new RepairRules(deadAfter, (this.downtimeShare >= MINIMUM_STANDBY_SHARE) ? 1 : 0, true, true, true);
	}

}
