package sycamorehill.model.group;

import java.util.Optional;

import sycamorehill.model.identity.VmName;

/**
 * A report of the engine on a VM.
 *
 * @param vm the VM
 * @param instance the incarnation of the engine process
 * @param state the state of the engine
 * @param group the group that the engine has joined, if any
 * @param leaving whether the engine reports that the VM is about to leave
 * @param running the number of running requests
 * @param queued the number of requests in the queue of the engine
 * @param tokensPerSecond the number of tokens generated in the last second
 * @param freeCacheTokens the free space in the cache, in tokens
 * @param sequence a sequence number that grows with each report of one engine process
 */
public record VmReport(VmName vm, String instance, EngineState state, Optional<GroupIdentity> group, boolean leaving,
		int running, int queued, double tokensPerSecond, long freeCacheTokens, long sequence) {

}
