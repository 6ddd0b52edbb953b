package sycamorehill.model.ticket;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;

/**
 * One address of a plain service.
 *
 * @param name the name of the target
 * @param dataCentre the data centre that the target runs in
 * @param address the address at which the target listens
 */
public record PlainTarget(TargetName name, DataCentreName dataCentre, Address address) {

}
