package sycamorehill.logic.observation;

import java.util.Collection;

import com.dynatrace.hash4j.hashing.Hashing;

import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmReport;

/**
 * Hashes by which two nodes tell whether they know the same.
 */
public final class StateHash {

	private StateHash() {
	}

	/**
	 * Over what a VM says of itself, without its load.
	 * @param report the report
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
	 * Over the VM list, in any order.
	 * @param entries the entries
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
