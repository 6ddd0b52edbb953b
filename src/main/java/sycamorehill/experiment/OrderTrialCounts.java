package sycamorehill.experiment;

/**
 * What one trial of orders counts.
 */
final class OrderTrialCounts {

	long orders;

	long cleared;

	long duringOutage;

	long clearedOfOutage;

	long writes;

	long conflicts;

	long reads;

	long writtenBytes;

	int largestObject;

	long messages;

	long messageBytes;

}
