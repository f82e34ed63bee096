import {RouterInstance} from '../standins/fleet/system.js';
import {sleep} from '../support/sleep.js';
import {eventIdsOf, RecordedResponse, sendRequest} from './sendRequest.js';

/** Streams of callers that name the parts of their prompts, sent to all instances in turn. */

/** Events of a sound request. */
const SOUND_EVENT_COUNT = 30;

const SOUND_PERIOD_MILLISECONDS = 25;

/** A request that was sent, in milliseconds of this process, and what its caller received; undefined for none. */
export interface RequestTry {
  readonly id: string;
  readonly sentAt: number;
  readonly response: Promise<RecordedResponse | undefined>;
}

/** Sends prompts to the instances that a function returns. */
export class PromptTraffic {
  private sentCount = 0;

  constructor(private readonly instances: () => readonly RouterInstance[]) {}

  /** Sends one prompt to the next instance. */
  send(
    promptParts: readonly string[],
    eventCount = SOUND_EVENT_COUNT,
  ): RequestTry {
    const instances = this.instances();
    const instance = instances[this.sentCount++ % instances.length]!;
    const id = `prompt-${this.sentCount}`;
    const prompt = promptParts.map(part => `${part}:10`).join(',');
    const headers = {
      'request-id': id,
      'prefix-hash': prompt,
      'token-count': `100,${eventCount}`,
    };
    const response = sendRequest(instance, '/chat/x', {headers});
    return {
      id,
      sentAt: performance.now(),
      response: response.catch(() => undefined),
    };
  }

  /** Sends sound requests, whose first parts come in turn. */
  async playSound(
    milliseconds: number,
    firstParts: readonly string[],
  ): Promise<readonly RequestTry[]> {
    const tries: RequestTry[] = [];
    const end = performance.now() + milliseconds;
    for (let index = 0; performance.now() < end; index++) {
      const first = firstParts[index % firstParts.length]!;
      tries.push(this.send([first, `sound-${this.sentCount}`]));
      await sleep(SOUND_PERIOD_MILLISECONDS);
    }
    return tries;
  }

  /** Share of sound requests that were answered whole. */
  async servedShare(tries: readonly RequestTry[]): Promise<number> {
    const responses = await Promise.all(tries.map(({response}) => response));
    const served = responses.filter(
      response =>
        response?.status === 200 &&
        eventIdsOf(response).length === SOUND_EVENT_COUNT,
    );
    return served.length / Math.max(1, responses.length);
  }
}
