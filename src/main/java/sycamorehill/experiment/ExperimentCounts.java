package sycamorehill.experiment;

/**
 * What callers sent and got in one phase.
 *
 * @param offered requests of callers
 * @param sent attempts sent to targets
 * @param served requests served whole
 * @param unserved requests that ended otherwise
 */
record ExperimentCounts(int offered, int sent, int served, int unserved) {

	static ExperimentCounts none() {
		return new ExperimentCounts(0, 0, 0, 0);
	}

	ExperimentCounts plusOffered() {
		return new ExperimentCounts(this.offered + 1, this.sent, this.served, this.unserved);
	}

	ExperimentCounts plusSent() {
		return new ExperimentCounts(this.offered, this.sent + 1, this.served, this.unserved);
	}

	ExperimentCounts plusFinished(boolean whole) {
		return new ExperimentCounts(this.offered, this.sent, this.served + (whole ? 1 : 0),
				this.unserved + (whole ? 0 : 1));
	}

}
