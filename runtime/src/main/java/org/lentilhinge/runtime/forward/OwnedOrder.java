package org.lentilhinge.runtime.forward;

import org.lentilhinge.permit.AdapterOrder;

/**
 * An order with the ownership that it was decided for. It is void under any other ownership, also
 * under a later one of the same host: the engine may have changed in between.
 *
 * @param order the order
 * @param ownershipNumber the number of the ownership
 */
record OwnedOrder(AdapterOrder order, long ownershipNumber) {}
