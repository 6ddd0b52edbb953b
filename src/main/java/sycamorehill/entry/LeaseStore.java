package sycamorehill.entry;

import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;

/**
 * The lease on the control of groups, in the platform's store.
 */
public interface LeaseStore {

	/**
	 * Reads the lease, maybe from a copy that is seconds old.
	 * @return the answer; never fails
	 */
	CompletableFuture<LeaseAnswer> read();

	/**
	 * Creates the lease if there is none.
	 * @param holder who holds it
	 * @return the answer; never fails
	 */
	CompletableFuture<LeaseAnswer> create(String holder);

	/**
	 * Replaces the lease if it still has the revision named.
	 * @param lease the lease to write
	 * @return the answer; never fails
	 */
	CompletableFuture<LeaseAnswer> replace(Lease lease);

}
