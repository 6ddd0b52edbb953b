package sycamorehill.model.policy;

import java.time.Duration;

/**
 * The user's cost of a second of group downtime, relative to that of a second of a
 * stranded accelerator. All rules that trade one for the other are derived from it.
 *
 * @param downtimeShare from 0 (only stranded accelerators count) to 1 (only downtime
 * counts)
 */
public record GroupWeights(double downtimeShare) {

	private static final Duration MAXIMUM_SILENCE = Duration.ofSeconds(30);

	private static final Duration MINIMUM_SILENCE = Duration.ofSeconds(20);

	private static final double MINIMUM_STANDBY_SHARE = 0.7;

	/**
	 * Validates the share.
	 */
	public GroupWeights {
		if (!(downtimeShare >= 0 && downtimeShare <= 1)) {
			throw new IllegalArgumentException("the downtime share must be from 0 to 1, not " + downtimeShare);
		}
	}

	/**
	 * Returns the default weights, used where the settings leave them out.
	 * @return equal weights
	 */
	public static GroupWeights standard() {
		return new GroupWeights(0.5);
	}

	/**
	 * Returns the repair rules that follow from the weights.
	 * @return the rules
	 */
	public RepairRules repairRules() {
		long rangeMillis = MAXIMUM_SILENCE.toMillis() - MINIMUM_SILENCE.toMillis();
		Duration deadAfter = MAXIMUM_SILENCE.minusMillis(Math.round(rangeMillis * this.downtimeShare));
		return new RepairRules(deadAfter, (this.downtimeShare >= MINIMUM_STANDBY_SHARE) ? 1 : 0, true, true, true);
	}

}
