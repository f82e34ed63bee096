import {MemoryBudget} from '../../base/common/memoryBudget.js';

/** Shares of the memory that the platform grants; the rest is for the heap and the program. */
const REQUEST_SHARE = 0.08;
const RESPONSE_SHARE = 0.08;
const UNREAD_SHARE = 0.08;
/** At least two answers of the store of the largest size, so that no other sender keeps the instance from its configuration. */
const MESSAGE_SHARE = 0.05;

/** Memory for what others send and do not read, apart for each kind, so that none takes what another needs. */
export interface ReceivedMemory {
  /** Bodies of callers' requests. */
  readonly requests: MemoryBudget;
  /** Responses and incomplete events of upstreams. */
  readonly responses: MemoryBudget;
  /** Responses that callers have not read. */
  readonly unread: MemoryBudget;
  /** Messages of peers, the store and upstreams' control endpoints. */
  readonly messages: MemoryBudget;
}

/** Divides the memory of a process. */
export function createReceivedMemory(limitBytes: number): ReceivedMemory {
  return {
    requests: new MemoryBudget(limitBytes * REQUEST_SHARE),
    responses: new MemoryBudget(limitBytes * RESPONSE_SHARE),
    unread: new MemoryBudget(limitBytes * UNREAD_SHARE),
    messages: new MemoryBudget(limitBytes * MESSAGE_SHARE),
  };
}
