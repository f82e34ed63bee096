import {AddressQuery} from './chooseAddresses.js';

/** Port for the platform's format of readiness and address queries. */
export abstract class DirectoryProtocol {
  /** HTTP path of the readiness check. */
  abstract readonly readinessPath: string;
  /** HTTP path of the address query. */
  abstract readonly addressesPath: string;
  abstract parseAddressQuery(query: URLSearchParams): AddressQuery;
  /** Creates the JSON body of the response to an address query. */
  abstract formatAddresses(
    addresses: readonly string[],
    timeToLiveSeconds: number,
  ): unknown;
}
