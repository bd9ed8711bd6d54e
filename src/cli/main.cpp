#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app{"wagtailhitch: a model-aware router for versions and cascades"};
    CLI11_PARSE(app, argc, argv);
    return 0;
}
