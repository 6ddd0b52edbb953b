package sycamorehill.logic.observation;

import java.util.Collection;

import com.dynatrace.hash4j.hashing.Hashing;

import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmReport;

/**
 * Computes hashes by which two nodes check that they know the same state.
 */
public final class StateHash {

	private StateHash() {
	}

	/**
	 * Returns the hash of the state of a VM without its load.
	 * @param report the report of the VM
	 * @return the hash
	 */
	static long of(VmReport report) {
		return Hashing.komihash5_0()
			.hashStream()
			.putString(report.vm().value())
			.putString(report.instance())
			.putInt(report.state().ordinal())
			.putString(report.group().map((group) -> group.name().toString()).orElse(""))
			.putLong(report.group().map((group) -> group.generation()).orElse(0L))
			.putBoolean(report.leaving())
			.getAsLong();
	}

	/**
	 * Returns the hash of a VM list.
	 * @param entries the entries, in any order
	 * @return the hash
	 */
	public static long of(Collection<VmEntry> entries) {
		long hash = 0;
		for (VmEntry entry : entries) {
			hash += Hashing.komihash5_0()
				.hashStream()
				.putString(entry.name().value())
				.putString(entry.instance())
				.putString(entry.address().toString())
				.putInt(entry.status().ordinal())
				.getAsLong();
		}
		return hash;
	}

}
