import {Clock} from '../../base/common/clock.js';
import {neverCancelled} from '../../base/common/cancellation.js';
import {DisposableStore, toDisposable} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {chooseAddresses} from '../../features/instances/common/chooseAddresses.js';
import {createNewsRouter} from '../../features/instances/node/newsRouter.js';
import {
  jsonAnswer,
  serveText,
  TextAnswer,
} from '../../infrastructure/http/node/textServer.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {serveRpc} from '../../infrastructure/rpc/node/rpc.js';
import {CallerListener} from './callerListener.js';
import {watchLoop} from './loopWatch.js';
import {createRouterParts, RouterParts} from './routerParts.js';
import {switchedOff} from '../../features/mechanisms/common/mechanisms.js';
import {RouterPorts} from './routerPorts.js';
import {RouterSettings} from './routerSettings.js';

/** Addresses in one answer at most; callers read no more. */
const ADDRESS_LIMIT = 64;

/** Seconds for which callers keep an answer: for so long they may try an instance that was lost; asking costs little. */
const ADDRESS_SECONDS = 1;

/** How often the own state is looked at. */
const STATE_MILLISECONDS = 150;

/** Descriptors kept free of callers' connections: upstreams, peers, the platform. */
const RESERVED_DESCRIPTORS = 1_200;
const LEAST_CALLER_CONNECTIONS = 256;

/** Callers that ask for addresses while none serves are told so, and ask another instance. */
const NONE_SERVING: TextAnswer = jsonAnswer({}, 503);

const METRICS_PATH = '/metrics';
const METRICS_TYPE = 'text/plain; version=0.0.4';

/** Parts of the time that a stop may take, counted from its beginning. */
const IDLE_CLOSE_SHARE = 0.4;
const REFUSE_SHARE = 0.55;
/** Kept free before the process is killed, to exit in order. */
const EXIT_MARGIN_MILLISECONDS = 400;

/** One instance of the router. */
export class RouterProgram {
  private readonly owned = new DisposableStore();
  private readonly parts: RouterParts;
  private readonly callers: CallerListener;
  private isStopping = false;

  constructor(
    private readonly settings: RouterSettings,
    private readonly ports: RouterPorts,
    private readonly clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
  ) {
    this.parts = createRouterParts(
      settings,
      ports,
      clock,
      random,
      logger,
      this.owned,
    );
    this.callers = new CallerListener(
      clock,
      logger,
      this.parts.handler,
      Math.max(
        LEAST_CALLER_CONNECTIONS,
        settings.descriptorLimit - RESERVED_DESCRIPTORS,
      ),
    );
  }

  /** Serves; resolves once all addresses are listened on. */
  async start(): Promise<void> {
    const {keeper, follower, lister, talk, layers} = this.parts;
    this.owned.add(
      keeper.onDidChange(({configuration}) =>
        this.callers.setLimits(configuration.limits),
      ),
    );
    void follower.run();
    lister.start();
    await this.listen();
    talk.start();
    layers.start();
    const timer = setInterval(() => this.updateState(), STATE_MILLISECONDS);
    this.owned.add(toDisposable(() => clearInterval(timer)));
    this.owned.add(watchLoop(this.clock, this.logger));
    this.owned.add(keeper.onDidConfirm(() => this.updateState()));
    const {instance, listen} = this.settings;
    this.logger.info('started', {
      switchedOff: switchedOff(this.settings.mechanisms),
      dataCentre: instance.dataCentre,
      region: instance.region,
      ...listen,
    });
  }

  /** Finishes what is in progress and ends; takes no longer than the platform gives. */
  async stop(): Promise<void> {
    const {stopMilliseconds} = this.settings;
    const begin = this.clock.monotonicMilliseconds();
    const {handler, instances} = this.parts;
    this.isStopping = true;
    instances.state = 'stopping';
    this.logger.info('stopping', {inProgress: handler.count});
    this.callers.closeAfterAnswers();
    void this.leave();
    const until = (milliseconds: number): Promise<void> =>
      this.sleep(begin + milliseconds - this.clock.monotonicMilliseconds());
    await until(stopMilliseconds * IDLE_CLOSE_SHARE);
    this.callers.closeIdle();
    await Promise.race([
      handler.idle(),
      until(stopMilliseconds * REFUSE_SHARE),
    ]);
    handler.refuseNew();
    this.callers.stopListening();
    await Promise.race([
      handler.idle(),
      until(stopMilliseconds - EXIT_MARGIN_MILLISECONDS),
    ]);
    this.logger.info('stopped', {
      unfinished: handler.count,
      milliseconds: Math.round(this.clock.monotonicMilliseconds() - begin),
    });
    this.dispose();
  }

  dispose(): void {
    this.callers.close();
    this.owned.dispose();
  }

  private async leave(): Promise<void> {
    const {layers, registry, talk} = this.parts;
    await Promise.all([
      talk.tellAll(neverCancelled),
      layers.leave(neverCancelled),
    ]);
    await registry.withdraw(this.settings.instance.name, neverCancelled);
  }

  private sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(Math.max(0, milliseconds), resolve);
    });
  }

  private updateState(): void {
    if (this.isStopping) {
      return;
    }
    const {instances, keeper} = this.parts;
    instances.state = keeper.isConfirmed ? 'serving' : 'unready';
  }

  private async listen(): Promise<void> {
    const {listen, peerKey} = this.settings;
    const {directory} = this.ports;
    const {talk, metrics} = this.parts;
    const news = createNewsRouter(input => talk.answer(input));
    this.owned.add(await serveRpc(news, listen.peers, peerKey));
    this.owned.add(
      await serveText(listen.readiness, {
        [directory.readinessPath]: () => this.readiness(),
      }),
    );
    if (listen.directory !== undefined) {
      this.owned.add(
        await serveText(listen.directory, {
          [directory.addressesPath]: query => this.addresses(query),
        }),
      );
    }
    this.owned.add(
      await serveText(listen.metrics, {
        [METRICS_PATH]: async () => ({
          status: 200,
          contentType: METRICS_TYPE,
          body: await metrics.metrics(),
        }),
      }),
    );
    await this.callers.listen(listen.callers);
  }

  private readiness(): TextAnswer {
    const {state} = this.parts.instances;
    return jsonAnswer({state}, state === 'serving' ? 200 : 503);
  }

  private addresses(query: URLSearchParams): TextAnswer {
    const {directory} = this.ports;
    const question = directory.readQuestion(query);
    const {serving} = this.parts.instances;
    if (serving.length === 0) {
      return NONE_SERVING;
    }
    const addresses = chooseAddresses(question, serving, ADDRESS_LIMIT);
    const seconds = Math.min(ADDRESS_SECONDS, this.settings.addressSeconds);
    return jsonAnswer(directory.writeAnswer(addresses, seconds));
  }
}
