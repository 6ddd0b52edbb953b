package sycamorehill.experiment.group;

import java.time.Duration;

import sycamorehill.model.policy.Policy;

/**
 * What a trial runs.
 *
 * @param policy the bounds of every node
 * @param dataCentres how many data centres
 * @param nodes nodes in each data centre
 * @param domains fabric domains in each data centre
 * @param vms VMs in each domain
 * @param load how long a load takes that has the weight store for itself
 * @param storeLoads how many loads the weight store carries at full speed
 * @param listLag how far the VM list lags
 * @param seed of everything that is random
 */
public record TrialSettings(Policy policy, int dataCentres, int nodes, int domains, int vms, Duration load,
		int storeLoads, Duration listLag, long seed) {

}
