package sycamorehill.model.peer;

import sycamorehill.model.identity.DataCentreName;

/**
 * Asks for the live nodes of a data centre.
 *
 * @param dataCentre the data centre
 */
public record MembersAsked(DataCentreName dataCentre) implements PeerMessage {
}
