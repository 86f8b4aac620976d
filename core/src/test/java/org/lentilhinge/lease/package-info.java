/** Tests of leases, rendezvous hashing and fencing tokens. */
package org.lentilhinge.lease;
