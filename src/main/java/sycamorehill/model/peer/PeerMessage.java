package sycamorehill.model.peer;

/**
 * A message between two nodes. Each type of message is registered by name with the peer
 * codec.
 */
public interface PeerMessage {

}
