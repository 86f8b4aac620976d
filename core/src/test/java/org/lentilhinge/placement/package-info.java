/** Tests of the placement of adapters. */
package org.lentilhinge.placement;
