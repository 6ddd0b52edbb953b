package sycamorehill.settings;

import java.util.List;

import sycamorehill.load.LoadPlan;
import sycamorehill.model.identity.Address;

/**
 * Settings of a load.
 *
 * @param plan what load on which nodes
 * @param plainTargets addresses of the stand-ins of plain services, whose records of runs
 * are compared with the answers; empty if they can't be asked
 */
public record LoadSettings(LoadPlan plan, List<Address> plainTargets) {

}
