import {AddressQuestion} from './chooseAddresses.js';

/** How callers and the platform ask about instances, as a port. */
export abstract class DirectoryProtocol {
  /** Path of the question whether this instance is ready. */
  abstract readonly readinessPath: string;
  /** Path of the question where to connect. */
  abstract readonly addressesPath: string;
  abstract readQuestion(query: URLSearchParams): AddressQuestion;
  /** The JSON body of an answer. */
  abstract writeAnswer(
    addresses: readonly string[],
    keepSeconds: number,
  ): unknown;
}
