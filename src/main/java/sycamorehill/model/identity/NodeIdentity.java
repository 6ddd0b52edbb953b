package sycamorehill.model.identity;

/**
 * Identifies a running node. The name, the data centre and the address come from its
 * settings; the incarnation number is drawn at random at start-up.
 *
 * @param incarnation the incarnation of the process
 * @param dataCentre the data centre that the node runs in
 * @param peerAddress the address at which other nodes reach it
 */
public record NodeIdentity(NodeIncarnation incarnation, DataCentreName dataCentre, Address peerAddress) {

}
