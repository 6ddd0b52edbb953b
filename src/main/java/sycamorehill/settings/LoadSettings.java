package sycamorehill.settings;

import java.util.List;

import sycamorehill.load.LoadPlan;
import sycamorehill.model.identity.Address;

/**
 * Settings of a load generator run.
 *
 * @param plan the load to generate and the nodes that receive it
 * @param plainTargets addresses of the stand-ins of plain services, whose records of
 * executed requests are compared with the answers; empty if they can't be queried
 */
public record LoadSettings(LoadPlan plan, List<Address> plainTargets) {

}
