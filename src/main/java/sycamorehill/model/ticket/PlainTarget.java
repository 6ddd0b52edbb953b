package sycamorehill.model.ticket;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;

/**
 * One address of a plain service.
 *
 * @param name the target's name
 * @param dataCentre where it runs
 * @param address where it listens
 */
public record PlainTarget(TargetName name, DataCentreName dataCentre, Address address) {

}
