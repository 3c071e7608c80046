#include "persimmondoor/app/Main.h"

int main(int argc, char** argv)
{
    return persimmondoor::app::runProgram(argc, argv);
}
