/** Tests of the division of the weight store's budget. */
package org.lentilhinge.store;
