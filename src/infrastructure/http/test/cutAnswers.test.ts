import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  allCutsOf,
  answerForms,
  closings,
  CutAnswer,
  CuttingServer,
  findCut,
  formAnswer,
  FormedAnswer,
  formatCut,
  mainClosings,
  mapInBatches,
} from '../../../../test/standins/cutAnswers.js';
import {neverCancelled} from '../../../base/common/cancellation.js';
import {createRpcClient} from '../../rpc/node/rpc.js';
import {HttpClient} from '../node/httpClient.js';

/** Answers that stop at any byte, received by the client of control calls and by that of peers. */

const BODY = '{"result":{"data":{"count":12}}}';
const CALL_MILLISECONDS = 2_000;
const BATCH_SIZE = 32;

/** Sends a call with a name; resolves with the received data, or with undefined if the call failed. */
interface Caller {
  readonly call: (name: string) => Promise<string | undefined>;
  readonly dispose: () => void;
}

/** Calls the procedures of a peer, of which the type is of no interest here. */
type AnyProcedures = Readonly<
  Record<string, {mutate(input: unknown, options: object): Promise<unknown>}>
>;

function createHttpCaller(address: string): Caller {
  const client = new HttpClient(address, {
    connections: BATCH_SIZE,
    callMilliseconds: CALL_MILLISECONDS,
  });
  return {
    call: async name => {
      const request = {method: 'POST', path: `/${name}`, body: '{}'};
      const outcome = await client.send(request, neverCancelled);
      return outcome.kind === 'answered' ? outcome.body : undefined;
    },
    dispose: () => client.dispose(),
  };
}

function createPeerCaller(address: string): Caller {
  const client = createRpcClient(address, 'key');
  const procedures = client.call as unknown as AnyProcedures;
  return {
    call: async name => {
      const signal = AbortSignal.timeout(CALL_MILLISECONDS);
      const call = procedures[name]?.mutate({}, {signal});
      const data = await call?.catch(() => undefined);
      return data === undefined ? undefined : JSON.stringify({result: {data}});
    },
    dispose: () => client.dispose(),
  };
}

describe.each([
  {
    client: 'the HTTP client',
    create: createHttpCaller,
    acceptsNoEnd: false,
    kinds: closings,
  },
  {
    client: 'the client of peers',
    create: createPeerCaller,
    // An object in JSON of which a part is missing is no JSON.
    acceptsNoEnd: true,
    kinds: mainClosings,
  },
])(
  'an answer that stops, received by $client',
  ({create, acceptsNoEnd, kinds}) => {
    let formed: FormedAnswer;
    let server: CuttingServer;
    let caller: Caller;

    beforeEach(async () => {
      server = new CuttingServer(answerTo);
      caller = create(await server.start());
    });

    afterEach(() => {
      caller.dispose();
      server.stop();
    });

    function answerTo(request: string): CutAnswer {
      const {text} = formed;
      const cut = findCut(request) ?? {
        bytes: text.length,
        closing: 'FIN later',
      };
      return {text, cut};
    }

    it.each(answerForms)('with $name is never an answer', async form => {
      formed = formAnswer(form, [], BODY);
      const isAccepted =
        form.isRefused !== true &&
        (form.framing !== 'connection' || acceptsNoEnd);
      expect(await caller.call('whole')).toBe(isAccepted ? BODY : undefined);
      const cuts = allCutsOf(formed, kinds).map(formatCut);
      const received = await mapInBatches(cuts, BATCH_SIZE, async cut => ({
        cut,
        data: await caller.call(cut),
      }));
      expect(received.filter(({data}) => data !== undefined)).toEqual([]);
    });
  },
);
