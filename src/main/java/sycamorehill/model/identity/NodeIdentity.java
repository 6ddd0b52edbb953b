package sycamorehill.model.identity;

/**
 * Who a node is: from its settings, and drawn at start-up.
 *
 * @param incarnation this life
 * @param dataCentre where it runs
 * @param peerAddress where other nodes reach it
 */
public record NodeIdentity(NodeIncarnation incarnation, DataCentreName dataCentre, Address peerAddress) {

}
