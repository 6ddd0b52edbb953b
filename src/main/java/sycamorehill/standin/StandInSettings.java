package sycamorehill.standin;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;

/**
 * What a {@link StandInCluster} consists of.
 *
 * @param host the IP number that all servers listen on
 * @param platformPort port of the platform, 0 for a free one
 * @param dataCentres the data centres
 * @param domainsPerDataCentre fabric domains in each
 * @param vmsPerDomain target VMs in each domain
 * @param plainServices plain services, with one target in each data centre
 * @param timing speed of the engines
 * @param seed of every random choice
 */
public record StandInSettings(String host, int platformPort, List<DataCentreName> dataCentres, int domainsPerDataCentre,
		int vmsPerDomain, List<ServiceName> plainServices, EngineTiming timing, long seed) {

	/**
	 * Takes copies of the lists.
	 */
	public StandInSettings {
		dataCentres = List.copyOf(dataCentres);
		plainServices = List.copyOf(plainServices);
	}

	/**
	 * A small fleet on loopback with free ports.
	 * @param dataCentres the data centres
	 * @param plainServices the plain services
	 * @return two domains of three VMs in each data centre
	 */
	public static StandInSettings small(List<DataCentreName> dataCentres, List<ServiceName> plainServices) {
		return new StandInSettings("127.0.0.1", 0, dataCentres, 2, 3, plainServices, EngineTiming.standard(), 1);
	}

}
