package sycamorehill.engine;

import java.util.Optional;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.VmName;

/**
 * The JSON body of an engine's report.
 *
 * @param vm the VM
 * @param instance the incarnation of the engine process
 * @param state the state of the engine
 * @param group the group that the engine has joined, or null if none
 * @param leaving whether the engine reports that the VM is about to leave
 * @param running the number of running requests
 * @param queued the number of requests in the queue of the engine
 * @param tokensPerSecond the number of tokens generated in the last second
 * @param freeCacheTokens the free space in the cache, in tokens
 * @param sequence a sequence number that grows with each report of one engine process
 */
record VmReportBody(String vm, String instance, EngineState state, GroupBody group, boolean leaving, int running,
		int queued, double tokensPerSecond, long freeCacheTokens, long sequence) {

	VmReport toReport() {
		return new VmReport(VmName.of(this.vm), this.instance, this.state,
				Optional.ofNullable(this.group).map(GroupBody::identity), this.leaving, this.running, this.queued,
				this.tokensPerSecond, this.freeCacheTokens, this.sequence);
	}

}
