package sycamorehill.model.request;

import java.util.Set;

import sycamorehill.model.identity.TargetName;

/**
 * What the choice of a target rests on.
 *
 * @param request the request
 * @param excluded targets that have already failed it
 */
public record RouteQuery(RequestDescription request, Set<TargetName> excluded) {

}
