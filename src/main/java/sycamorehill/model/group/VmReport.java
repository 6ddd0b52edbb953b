package sycamorehill.model.group;

import java.util.Optional;

import sycamorehill.model.identity.VmName;

/**
 * What the engine on a VM reported of itself.
 *
 * @param vm the VM
 * @param instance the life of the engine process
 * @param state what it is doing
 * @param group the group that it has joined
 * @param leaving its own word that it will go
 * @param running requests that it runs
 * @param queued requests that wait in it
 * @param tokensPerSecond tokens generated in the last second
 * @param freeCacheTokens room in its cache, in tokens
 * @param sequence grows with each report of one engine process
 */
public record VmReport(VmName vm, String instance, EngineState state, Optional<GroupIdentity> group, boolean leaving,
		int running, int queued, double tokensPerSecond, long freeCacheTokens, long sequence) {

}
