package sycamorehill.entry;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;

/**
 * Lease of the group controller, in the store of the platform.
 */
public interface LeaseStore {

	/**
	 * Reads the lease, possibly from a copy that is seconds old.
	 * @return the answer; never fails
	 */
	CompletableFuture<LeaseAnswer> read();

	/**
	 * Creates the lease if none exists.
	 * @param holder the holder of the lease
	 * @return the answer; never fails
	 */
	CompletableFuture<LeaseAnswer> create(String holder);

	/**
	 * Replaces the lease if its revision is still the one given.
	 * @param lease the lease to write
	 * @return the answer; never fails
	 */
	CompletableFuture<LeaseAnswer> replace(Lease lease);

}
