package sycamorehill.engine;

import java.util.Optional;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.VmName;

/**
 * A report on the wire.
 *
 * @param vm the VM
 * @param instance the life of the engine process
 * @param state what it is doing
 * @param group its group, null in none
 * @param leaving its own word that it will go
 * @param running requests that it runs
 * @param queued requests that wait in it
 * @param tokensPerSecond tokens generated in the last second
 * @param freeCacheTokens room in its cache
 * @param sequence grows with each report
 */
record VmReportBody(String vm, String instance, EngineState state, GroupBody group, boolean leaving, int running,
		int queued, double tokensPerSecond, long freeCacheTokens, long sequence) {

	VmReport toReport() {
		return new VmReport(VmName.of(this.vm), this.instance, this.state,
				Optional.ofNullable(this.group).map(GroupBody::identity), this.leaving, this.running, this.queued,
				this.tokensPerSecond, this.freeCacheTokens, this.sequence);
	}

}
