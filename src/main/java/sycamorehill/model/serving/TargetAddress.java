package sycamorehill.model.serving;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;

/**
 * One life of a target and where it is reached.
 *
 * @param name the target's name
 * @param address where it takes requests
 */
public record TargetAddress(TargetName name, Address address) {
}
