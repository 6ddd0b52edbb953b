package sycamorehill.model.serving;

import java.util.Optional;

import sycamorehill.model.identity.Address;

/**
 * An entry node that came, changed or left.
 *
 * @param name the node
 * @param address where it takes messages of other nodes; empty if it left
 */
public record NodeChange(String name, Optional<Address> address) {
}
