import {afterEach, beforeEach, expect, it} from 'vitest';

import {neverCancelled} from '../../src/base/common/cancellation.js';
import {HttpServiceConnector} from '../../src/infrastructure/service/node/httpServiceConnector.js';
import {freeAddresses} from '../support/ports.js';
import {
  ServiceFault,
  ServiceStandIn,
  startService,
  expectedServiceBody,
} from './serviceStandIn.js';

const BODY = '{"key":"order-1","metres":12}';

let standIn: ServiceStandIn;
let connector: HttpServiceConnector;
let address: string;

beforeEach(async () => {
  const addresses = await freeAddresses(2);
  address = addresses[0]!;
  standIn = await startService({
    id: 'dispatch-1',
    service: 'dispatch',
    address,
    faultAddress: addresses[1]!,
  });
  connector = new HttpServiceConnector();
});

afterEach(() => {
  connector.dispose();
  standIn.dispose();
});

function call() {
  const request = {
    requestId: 'request-1',
    method: 'POST',
    path: '/orders',
    contentType: 'application/json',
    body: BODY,
  };
  const connection = connector.connect('dispatch-1', address);
  return connection.call(request, neverCancelled);
}

const cases: ReadonlyArray<
  readonly [ServiceFault | undefined, string, number]
> = [
  [undefined, 'answered 200', 1],
  [{kind: 'failed'}, 'answered 500', 1],
  [{kind: 'down'}, 'unreachable', 0],
  [{kind: 'requestLost'}, 'lost', 0],
  [{kind: 'answerLost'}, 'lost', 1],
  [{kind: 'refuse'}, 'refused', 0],
  [{kind: 'crossed'}, 'mismatch', 1],
];

it.each(cases)(
  'a request under fault %j has the outcome %s and executes %i times',
  async (fault, kind, count) => {
    if (fault !== undefined) {
      await standIn.setFault({fault, times: 1});
    }
    const result = await call();
    const outcome = result.ok
      ? `answered ${result.value.status}`
      : result.error.kind;
    expect(outcome).toBe(kind);
    expect(standIn.executions()).toHaveLength(count);
    if (fault === undefined && result.ok) {
      const body = expectedServiceBody('dispatch', 'POST', '/orders', BODY);
      expect(JSON.parse(result.value.body)).toEqual(body);
      expect(standIn.executions()[0]).toMatchObject({key: 'order-1'});
    }
  },
);
